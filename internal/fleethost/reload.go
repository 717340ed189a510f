package fleethost

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// followSettings reads the settings again when the file changes, with or
// without a signal, until ctx ends.
func followSettings(ctx context.Context, path string, log *logrus.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	tick := time.NewTicker(settingsPeriod)
	defer tick.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-tick.C:
			if now := modified(path); now.Equal(last) {
				continue
			}
		}
		last = modified(path)
		reload(path, log)
	}
}

// modified returns the zero time where the file can't be looked at; reading it
// tells why.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload puts the settings in force that can change while the host runs.
// Settings that can't be read leave the old ones in force.
func reload(path string, log *logrus.Logger) {
	s, err := ReadSettings(path)
	if err != nil {
		log.WithFields(logrus.Fields{"event": "settings_unreadable", "error": err}).Error("the settings can't be read; the old ones stay in force")
		return
	}
	tune(s)
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		log.SetLevel(level)
	}
	log.WithFields(logrus.Fields{"event": "settings_reloaded", "memory_mb": s.MemoryMB, "log_level": s.LogLevel}).Info("settings were read again")
}
