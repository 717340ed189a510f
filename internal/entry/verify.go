package entry

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/quarantine"
)

const (
	verifyInterval   = 2 * time.Second // between verifications of one upstream
	verifyTimeout    = 2 * time.Second
	peerVerifyDelay  = registrationTTL + 2*time.Second // of a crash that a peer has observed; the peer verifies it sooner
	peerVerifySpread = 4 * time.Second                 // hosts choose their delay in this range, so that they don't all ask at once
	maxVerifications = 64                              // started by one review
)

// Registry reads the platform's registry of upstreams.
type Registry interface {
	// ReadUpstream returns the upstream's entry as the registry has it now, and false if it
	// has none. It must not respond from a copy.
	ReadUpstream(ctx context.Context, id string) (fleet.Upstream, bool, error)
}

// noRegistry is the default Registry. It verifies nothing.
type noRegistry struct{}

// ReadUpstream implements Registry.
func (noRegistry) ReadUpstream(context.Context, string) (fleet.Upstream, bool, error) {
	return fleet.Upstream{}, false, errors.New("this host has no registry of upstreams; call SetRegistry")
}

// SetRegistry sets the registry that tells whether upstreams live. It must be called before
// Run.
func (c *Core) SetRegistry(r Registry) { c.registry = r }

// reviewCrashes removes expired crashes, and verifies those whose upstream is still listed.
// That alone is no sign of life: this host's list may be old, and the entry of an upstream
// may outlive it.
func (c *Core) reviewCrashes(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.Expire(now)
	c.reviewParts(now)
	for instance, last := range c.verifiedAt {
		if now.Sub(last) > verifyInterval {
			delete(c.verifiedAt, instance)
		}
	}
	if !c.isRegistryCurrent(now) {
		return
	}
	own, others := now.Add(-registrationTTL), now.Add(-c.peerVerifyDelay)
	for _, instance := range append(c.crashes.Unverified(own, others), c.partCrashes.Unverified(own, others)...) {
		_, recently := c.verifiedAt[instance]
		if recently || !c.isListed(instance) || len(c.verifiedAt) >= maxVerifications {
			continue
		}
		c.verifiedAt[instance] = now
		u, _ := c.balancer.Upstream(instance.ID)
		c.probes.Go(func() { c.verifyUpstream(ctx, u) })
	}
}

// verifyUpstream withdraws the crashes of an upstream that turns out to be alive.
func (c *Core) verifyUpstream(ctx context.Context, u fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	began := time.Now()
	if err := c.confirmAlive(ctx, u); err != nil {
		c.log.WithFields(logrus.Fields{"event": "crash_upheld", "upstream": u.ID, "error": err}).Info("an upstream that is listed doesn't show that it lives; its crash still counts")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	live := map[quarantine.Instance]bool{instanceOf(u): true}
	for _, x := range c.crashes.WithdrawLive(began.Add(-registrationTTL), live) {
		c.stateDirty = true
		c.logWithdrawal(x, "verified")
	}
	if parts := c.partCrashes.WithdrawLive(began.Add(-registrationTTL), live); len(parts) > 0 {
		c.stateDirty = true
		c.log.WithFields(logrus.Fields{"event": "prompt_part_crash_withdrawn", "upstream": u.ID, "parts": strings.Join(parts, ",")}).
			Info("a crash no longer counts against parts of prompts: its upstream lives on")
		c.logPartVerdicts(parts, "verified", time.Now())
	}
}

// confirmAlive returns nil if the upstream responds now, and is registered now with the start
// time that it had.
func (c *Core) confirmAlive(ctx context.Context, u fleet.Upstream) error {
	if err := c.askUpstream(ctx, u); err != nil {
		return errors.Wrap(err, "ask the upstream")
	}
	now, registered, err := c.registry.ReadUpstream(ctx, u.ID)
	switch {
	case err != nil:
		return errors.Wrap(err, "read the registry")
	case !registered:
		return errors.New("the upstream has left the registry")
	case instanceOf(now) != instanceOf(u):
		return errors.New("the upstream has restarted")
	}
	return nil
}

// askUpstream returns nil if the upstream responds to a health check or, if its service has
// none, accepts a connection.
func (c *Core) askUpstream(ctx context.Context, u fleet.Upstream) error {
	pinger, ok := c.connector.(Pinger)
	path := c.healthPath(u.Service)
	if !ok || path == "" {
		return c.connector.Connect(ctx, u)
	}
	_, err := pinger.Ping(ctx, u, path)
	return err
}

// healthPath returns the path of the service's health check; empty if there is none.
func (c *Core) healthPath(service string) string {
	config := c.Config()
	if config == nil {
		return ""
	}
	return config.Services[service].HealthPath
}
