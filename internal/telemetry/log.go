// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes one line of key=value pairs for each
// entry. The level can be changed at run time.
func NewLogger(out io.Writer, level, host string) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if level == "" {
		level = "info"
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level: use debug, info, warning or error")
	}
	log.SetLevel(parsed)
	log.AddHook(hostHook(host))
	return log, nil
}

// hostHook adds the host's name to every line.
type hostHook string

func (hostHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h hostHook) Fire(e *logrus.Entry) error {
	if h != "" {
		e.Data["host"] = string(h)
	}
	return nil
}
