package slots

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticscale/masticscale/internal/fleet"
)

// Samples are times that a host observed at one upstream while about the same number of
// requests ran there. Hosts of a cell share them, because one host sees too few.
type Samples struct {
	Upstream uint64 // InstanceKey
	Kind     int    // of the time
	Load     int    // number of running requests, as told apart by hosts
	Count    int
	Mean     time.Duration // geometric, without the effect of the pace
}

// StatedPace is the pace that an upstream stated.
type StatedPace struct {
	Upstream uint64 // InstanceKey
	Percent  int
	At       time.Time
}

// InstanceKey identifies a process of an upstream in messages between hosts.
func InstanceKey(u fleet.Upstream) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(u.ID), uint64(u.Started.UnixMilli())))
}

type sampleKey struct {
	kind   timing
	bucket int
}

type sampleSum struct {
	count int
	sum   float64 // of logarithms
}

// addSample adds a sample to those to be shared.
func (p *performance) addSample(key sampleKey, x float64) {
	if p.observed == nil {
		p.observed = map[sampleKey]*sampleSum{}
	}
	if p.observed[key] == nil {
		p.observed[key] = &sampleSum{}
	}
	p.observed[key].count++
	p.observed[key].sum += x
}

// TakeSamples returns what this host has observed since the last call.
func (b *Balancer) TakeSamples() []Samples {
	var taken []Samples
	for _, u := range b.ordered() {
		for key, s := range u.perf.observed {
			mean := time.Duration(math.Exp(s.sum/float64(s.count)) * float64(time.Second))
			taken = append(taken, Samples{Upstream: u.key, Kind: int(key.kind), Load: key.bucket, Count: s.count, Mean: mean})
		}
		clear(u.perf.observed)
	}
	slices.SortFunc(taken, func(x, y Samples) int {
		return cmp.Or(cmp.Compare(x.Upstream, y.Upstream), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Load, y.Load))
	})
	return taken
}

// maxSharedCount bounds the weight of one entry of a peer: what an upstream with some ten
// requests sends in the time between two messages.
const maxSharedCount = 100

// MergeSamples adds what a peer has observed. Entries for other processes than the known
// ones are ignored.
func (b *Balancer) MergeSamples(samples []Samples, now time.Time) {
	if len(samples) == 0 || len(b.learned) == 0 {
		return
	}
	byKey := b.byInstanceKey()
	for _, s := range samples {
		u := byKey[s.Upstream]
		valid := s.Kind >= 0 && s.Kind < int(timings) && s.Load > 0 && s.Load <= maxLoadBuckets && s.Count > 0 && s.Mean > 0
		if u == nil || !valid || b.learned[u.Service] == nil {
			continue
		}
		b.learned[u.Service].learn(u, timing(s.Kind), s.Load, math.Log(s.Mean.Seconds()), float64(min(s.Count, maxSharedCount))/float64(s.Load), now)
	}
}

func (b *Balancer) byInstanceKey() map[uint64]*upstream {
	if b.byKey == nil {
		b.byKey = make(map[uint64]*upstream, len(b.upstreams))
		for _, u := range b.upstreams {
			b.byKey[u.key] = u
		}
	}
	return b.byKey
}

// StatedPaces returns the paces that upstreams have stated to this host and that still count.
func (b *Balancer) StatedPaces(now time.Time) []StatedPace {
	var stated []StatedPace
	for _, u := range b.ordered() {
		if last := u.perf.pace.last; last.here && now.Sub(last.at) < paceFreshness {
			stated = append(stated, StatedPace{Upstream: u.key, Percent: int(math.Round(100 * math.Exp(last.pace))), At: last.at})
		}
	}
	return stated
}

// MergePaces adds the paces that a peer knows. Older ones than those known are ignored.
func (b *Balancer) MergePaces(stated []StatedPace, now time.Time) {
	if len(stated) == 0 || len(b.learned) == 0 {
		return
	}
	byKey := b.byInstanceKey()
	for _, s := range stated {
		if u := byKey[s.Upstream]; u != nil && s.Percent > 0 && !s.At.After(now) {
			u.perf.pace.report(s.Percent, s.At, false)
		}
	}
}
