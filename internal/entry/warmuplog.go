package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
)

// coldLogInterval is the least time between two log lines of one kind about the cold times of a
// service's upstreams. Each of these can cause a line each second.
const coldLogInterval = 10 * time.Second

// coldLogKey is a kind of log line about the cold times of a service's upstreams.
type coldLogKey struct{ service, event, message string }

// coldLogState is when a kind was logged last, and how often it was left out since.
type coldLogState struct {
	loggedAt time.Time
	omitted  int
}

// logColdState logs that the cold time of an upstream isn't known as it should be. The caller
// must hold mu.
func (c *Core) logColdState(event, message string, u fleet.Upstream, fields logrus.Fields) {
	key, now := coldLogKey{u.Service, event, message}, time.Now()
	last := c.coldLogs[key]
	if now.Sub(last.loggedAt) < coldLogInterval {
		last.omitted++
		c.coldLogs[key] = last
		return
	}
	c.log.WithFields(fields).WithFields(logrus.Fields{"event": event, "upstream": u.ID, "service": u.Service, "omitted": last.omitted}).Warn(message)
	c.coldLogs[key] = coldLogState{loggedAt: now}
}

// logInvalidColdTimes logs entries whose cold time is missing, negative, no number or longer than
// that of the service. The caller must hold mu.
func (c *Core) logInvalidColdTimes(list []fleet.Upstream) {
	for _, u := range list {
		if u.ColdLeft < 0 {
			c.logInvalidColdTime(u, u.ColdLeft, "an entry states no valid remaining cold time")
			continue
		}
		c.logInvalidColdTime(u, u.ColdLeft, "an entry states more than the cold time of the service; it counts as that")
	}
}

// logInvalidColdTime logs the time with the message if it is invalid. The caller must hold mu.
func (c *Core) logInvalidColdTime(u fleet.Upstream, left time.Duration, message string) {
	if c.config == nil {
		return
	}
	config := c.config.Services[u.Service].WarmUp
	if config.Applies() && (left < 0 || left > config.Time) {
		c.logColdState("cold_time_invalid", message, u, logrus.Fields{"cold_left_ms": left.Milliseconds(), "cold_ms": config.Time.Milliseconds()})
	}
}
