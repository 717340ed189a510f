package catalog

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
)

const (
	stateFileName  = "catalog.json"
	stateFormat    = "masticscale-catalog-1" // first word of the file; raised when the format changes
	dataFolderMode = 0o700
	saveDelay      = 100 * time.Millisecond // combines changes in quick succession
	saveInterval   = 30 * time.Second       // keeps the stored age close to the actual one
)

// StateFile stores a copy of the catalog in the data folder, for a start while
// the platform and the peers are unavailable. Keys are stored as hashes.
type StateFile struct {
	path         string
	saveRequests chan struct{}
}

// NewStateFile returns the state file in dir, and creates dir if it does not exist.
func NewStateFile(dir string) (*StateFile, error) {
	if err := os.MkdirAll(dir, dataFolderMode); err != nil {
		return nil, errors.Wrap(err, "create data folder; check host.data_folder")
	}
	return &StateFile{path: filepath.Join(dir, stateFileName), saveRequests: make(chan struct{}, 1)}, nil
}

// Load reads the file. It returns nil if there is none, and an error if it is
// damaged or of another format.
func (f *StateFile) Load() (*State, error) {
	data, err := os.ReadFile(f.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read catalog state file")
	}
	header, body, found := bytes.Cut(data, []byte("\n"))
	if !found || string(header) != formatHeader(body) {
		return nil, errors.New("catalog state file is damaged or of another format; it will be overwritten")
	}
	state := new(State)
	if err := json.Unmarshal(body, state); err != nil {
		return nil, errors.Wrap(err, "decode catalog state file")
	}
	return state, nil
}

func formatHeader(body []byte) string {
	sum := sha256.Sum256(body)
	return stateFormat + " " + hex.EncodeToString(sum[:])
}

// Save replaces the file atomically, so that a crash leaves either the old or the
// new one.
func (f *StateFile) Save(s State) error {
	body, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode catalog state")
	}
	temporary, err := os.CreateTemp(filepath.Dir(f.path), stateFileName+".*")
	if err != nil {
		return errors.Wrap(err, "write catalog state file")
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	_, err = fmt.Fprintf(temporary, "%s\n%s", formatHeader(body), body)
	if err == nil {
		err = temporary.Sync()
	}
	if closeErr := temporary.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporary.Name(), f.path)
	}
	if err != nil {
		return errors.Wrap(err, "write catalog state file")
	}
	return nil
}

// run saves the catalog after each change and every saveInterval until ctx is done.
func (f *StateFile) run(ctx context.Context, c *Catalog, log logrus.FieldLogger) {
	c.OnChange(func(*Snapshot) {
		select {
		case f.saveRequests <- struct{}{}:
		default:
		}
	})
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-f.saveRequests:
			sleep(ctx, saveDelay)
		}
		if err := f.Save(c.Export(time.Now())); err != nil {
			log.WithError(err).WithField("event", "catalog_save_failed").Warn("cannot save the catalog; the copy in the data folder is outdated")
		}
	}
}
