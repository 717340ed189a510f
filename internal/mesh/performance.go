package mesh

import (
	"time"

	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/slots"
)

// Performance is what a host has observed of the performance of upstreams lately. Only the
// hosts of its cell are told.
type Performance struct {
	Samples []slots.Samples
	Version int64 // of Samples; rises with each of them in the host's incarnation
	Paces   []slots.StatedPace
}

// encodePerformance adds what the receiver of the stream doesn't know yet.
func encodePerformance(p Performance, sent *sentState, m *peerv1.ShareStateRequest, now time.Time) {
	if p.Version != sent.samplesVersion {
		sent.samplesVersion, m.SamplesVersion = p.Version, p.Version
		for _, s := range p.Samples {
			m.Samples = append(m.Samples, &peerv1.Samples{Upstream: s.Upstream, Kind: int32(s.Kind), Load: int32(s.Load), Count: int32(s.Count), MeanUs: int32(s.Mean.Microseconds())})
		}
	}
	latest := sent.pacesAt
	for _, s := range p.Paces {
		if s.At.After(sent.pacesAt) {
			m.Paces = append(m.Paces, &peerv1.StatedPace{Upstream: s.Upstream, Percent: int32(s.Percent), AgeMs: int32(now.Sub(s.At).Milliseconds())})
		}
		if s.At.After(latest) {
			latest = s.At
		}
	}
	sent.pacesAt = latest
}

// decodePerformance replaces ages by times, because the clocks of hosts differ.
func decodePerformance(m *peerv1.ShareStateRequest, now time.Time) Performance {
	p := Performance{Version: m.SamplesVersion}
	for _, s := range m.Samples {
		p.Samples = append(p.Samples, slots.Samples{Upstream: s.Upstream, Kind: int(s.Kind), Load: int(s.Load), Count: int(s.Count), Mean: time.Duration(s.MeanUs) * time.Microsecond})
	}
	for _, s := range m.Paces {
		p.Paces = append(p.Paces, slots.StatedPace{Upstream: s.Upstream, Percent: int(s.Percent), At: now.Add(-time.Duration(max(s.AgeMs, 0)) * time.Millisecond)})
	}
	return p
}
