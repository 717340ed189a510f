package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	keysPerTeam   = 3
	serviceCount  = 32
	upstreamCount = 600
	rebuildCount  = 20
)

// measureCatalogs measures catalogs of several sizes.
func measureCatalogs(sizes []int, progress Progress) ([]Series, error) {
	var memory, keyChange, document []Point
	for _, teams := range sizes {
		progress("a catalog of %d teams and %d keys", teams, teams*keysPerTeam)
		before := heapBytes()
		c := buildCatalog(teams)
		size := float64(teams)
		memory = append(memory, Point{size, (heapBytes() - before) / megabyte})
		keyChange = append(keyChange, Point{size, keyChangeTime(c).Seconds() * 1000})
		text, err := json.Marshal(config.Document{Fleet: buildFleet(teams)})
		if err != nil {
			return nil, errors.Wrap(err, "encode configuration")
		}
		document = append(document, Point{size, float64(len(text)) / 1024})
		runtime.KeepAlive(c)
	}
	return []Series{
		newSeries("catalog memory", "MB", "teams", memory),
		newSeries("configuration, as JSON", "KiB", "teams", document),
		newSeries("processor time of one key change", "ms", "teams", keyChange),
	}, nil
}

func buildCatalog(teams int) *catalog.Catalog {
	c := catalog.New()
	c.ApplyConfig(1, buildFleet(teams))
	c.UpdateObjects(func(p *catalog.ObjectSpecs) {
		for i := range teams * keysPerTeam {
			id := key.IDOf(fmt.Sprintf("secret-%d", i))
			p.Keys[id] = key.Spec{Team: fmt.Sprintf("team-%05d", i%teams), Created: time.Unix(0, 0)}
		}
	})
	return c
}

// buildFleet returns a configuration with the services and upstreams of the target
// size.
func buildFleet(teams int) config.Fleet {
	fleet := config.Fleet{Teams: map[string]team.Spec{}, Services: map[string]service.Spec{}}
	for i := range teams {
		fleet.Teams[fmt.Sprintf("team-%05d", i)] = team.Spec{Rate: 10, Burst: 20}
	}
	for i := range serviceCount {
		spec := service.Spec{Kind: service.Engine, Models: []string{fmt.Sprintf("model-%d", i)}, Upstreams: map[string]upstream.Spec{}}
		for w := range upstreamCount / serviceCount {
			spec.Upstreams[fmt.Sprintf("worker-%d-%d", i, w)] = upstream.Spec{Address: fmt.Sprintf("http://10.0.%d.%d:8000", i, w)}
		}
		fleet.Services[fmt.Sprintf("service-%d", i)] = spec
	}
	return fleet
}

// keyChangeTime returns the mean time of one change of a key.
func keyChangeTime(c *catalog.Catalog) time.Duration {
	started := time.Now()
	for i := range rebuildCount {
		c.UpdateObjects(func(p *catalog.ObjectSpecs) {
			p.Keys[key.IDOf(fmt.Sprintf("extra-%d", i))] = key.Spec{Team: "team-00000"}
		})
	}
	return time.Since(started) / rebuildCount
}
