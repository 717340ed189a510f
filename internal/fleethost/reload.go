package fleethost

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// reloadLoop reloads the settings when the file changes or on SIGHUP, until ctx is
// done.
func reloadLoop(ctx context.Context, path string, log *logrus.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	tick := time.NewTicker(settingsCheckInterval)
	defer tick.Stop()
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-tick.C:
			if now := modTime(path); now.Equal(last) {
				continue
			}
		}
		last = modTime(path)
		reload(path, log)
	}
}

// modTime returns the modification time of the file, or the zero time on an error.
// Reading the file reports the error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies those settings that can change while the host runs. If the file
// can't be read, the previous settings stay in effect.
func reload(path string, log *logrus.Logger) {
	s, err := ReadSettings(path)
	if err != nil {
		log.WithFields(logrus.Fields{"event": "settings_unreadable", "error": err}).Error("failed to read the settings; the previous ones stay in effect")
		return
	}
	applyResourceLimits(s)
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		log.SetLevel(level)
	}
	log.WithFields(logrus.Fields{"event": "settings_reloaded", "memory_mb": s.MemoryMB, "log_level": s.LogLevel}).Info("settings reloaded")
}
