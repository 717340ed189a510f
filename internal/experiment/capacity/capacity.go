package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Series is a figure measured at several sizes, with a linear fit.
type Series struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Per    string  `json:"per"` // unit of the size
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

func newSeries(name, unit, per string, points []Point) Series {
	return Series{Name: name, Unit: unit, Per: per, Points: points, Fit: FitLine(points)}
}

// Progress reports the next step of a measurement. Its arguments are those of
// fmt.Printf.
type Progress func(format string, args ...any)

// Options are the sizes and the duration of the measurement.
type Options struct {
	Hosts   []int         // hosts in each measured fleet
	Teams   []int         // teams in each measured catalog
	Observe time.Duration // observation time of each idle fleet
	Log     io.Writer     // log output of the hosts
}

// DefaultOptions returns options with which Measure takes about two minutes.
func DefaultOptions() Options {
	return Options{
		Hosts: []int{2, 4, 8, 16}, Teams: []int{1000, 3600, 7200}, Observe: 10 * time.Second, Log: io.Discard,
	}
}

// Measure measures the slopes of docs/CAPACITY.md: control traffic, platform calls and
// processor time of idle hosts against the size of the fleet, processor time of
// streams against the rate of events, and memory of the catalog against the number of
// teams.
func Measure(ctx context.Context, o Options, progress Progress) ([]Series, error) {
	var all []Series
	fleets, err := measureFleets(ctx, o, progress)
	if err != nil {
		return nil, err
	}
	all = append(all, fleets...)
	streams, err := measureStreams(ctx, o, progress)
	if err != nil {
		return nil, errors.Wrap(err, "streams")
	}
	all = append(all, streams...)
	catalogs, err := measureCatalogs(o.Teams, progress)
	return append(all, catalogs...), err
}

// measureFleets measures idle fleets of several sizes.
func measureFleets(ctx context.Context, o Options, progress Progress) ([]Series, error) {
	figures := map[string][]Point{}
	for _, n := range o.Hosts {
		progress("%d hosts, idle for %v", n, o.Observe)
		observed, err := observeFleet(ctx, n, o)
		if err != nil {
			return nil, errors.Wrapf(err, "fleet of %d hosts", n)
		}
		for name, value := range observed {
			figures[name] = append(figures[name], Point{Size: float64(n), Value: value})
		}
	}
	var all []Series
	for _, f := range fleetFigures {
		all = append(all, newSeries(f.name, f.unit, "hosts in the fleet", figures[f.name]))
	}
	return all, nil
}

const (
	figurePlatformBytes = "platform bytes a second a host"
	figurePeerBytes     = "peer bytes a second a host"
	figureReads         = "platform reads a second, all hosts"
	figureWrites        = "platform writes a second, all hosts"
	figureWatches       = "waiting watches, all hosts"
	figureProcessor     = "processor time a host"
	figureMemory        = "heap a host"
)

var fleetFigures = []struct{ name, unit string }{
	{figurePlatformBytes, "B/s"}, {figurePeerBytes, "B/s"}, {figureReads, "calls/s"}, {figureWrites, "calls/s"},
	{figureWatches, "watches"}, {figureProcessor, "% of a core"}, {figureMemory, "MB"},
}

// processorTime returns the user and system time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// heapBytes returns the size of the live heap. It collects twice, as objects with a
// finalizer are freed only after the finalizer has run.
func heapBytes() float64 {
	runtime.GC()
	time.Sleep(finalizerWait)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

const finalizerWait = 200 * time.Millisecond

// WriteMarkdown writes the series as a table with their fits and the fitted values at
// the target sizes. The target maps the unit of a size to the size.
func WriteMarkdown(w io.Writer, all []Series, target map[string]float64) error {
	_, err := fmt.Fprintln(w, "| figure | unit | per | measured (size: value) | intercept | slope | residual | at the target |\n|---|---|---|---|---|---|---|---|")
	if err != nil {
		return errors.Wrap(err, "write table")
	}
	for _, s := range all {
		points := ""
		for _, p := range s.Points {
			points += fmt.Sprintf("%.0f: %.4g ", p.Size, p.Value)
		}
		_, err := fmt.Fprintf(w, "| %s | %s | %s | %s| %.4g | %.4g | %.0f%% | %.4g at %.0f |\n",
			s.Name, s.Unit, s.Per, points, s.Fit.Intercept, s.Fit.Slope, 100*s.Fit.Residual, s.Fit.At(target[s.Per]), target[s.Per])
		if err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	return nil
}

// TargetSizes returns the sizes that the users expect within two years, by unit.
func TargetSizes() map[string]float64 {
	return map[string]float64{"hosts in the fleet": 380, "teams": 7200, "events a second and host": 660_000.0 / 380}
}
