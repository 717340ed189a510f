package telemetry_test

import (
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/masticscale/masticscale/internal/telemetry"
)

var ownName = regexp.MustCompile(`fqName: "(masticscale_\w+)"`)

// TestEveryMetricIsDocumented looks for each metric on the operators' page.
func TestEveryMetricIsDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/operations/metrics.md")
	c.Assert(err, qt.IsNil)
	m := telemetry.NewMetrics()
	m.RegisterKnowledgeAge(func() float64 { return 0 })
	m.RegisterDroppedLogLines(func() int64 { return 0 })
	described := make(chan *prometheus.Desc)
	go func() {
		defer close(described)
		m.Registry.Describe(described)
	}()
	found := 0
	for d := range described {
		if name := ownName.FindStringSubmatch(d.String()); name != nil {
			found++
			c.Check(string(page), qt.Contains, "`"+name[1]+"`")
		}
	}
	c.Assert(found > 10, qt.IsTrue)
}
