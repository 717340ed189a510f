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
	folderFile   = "catalog.json"
	folderFormat = "masticscale-catalog-1" // first word of the file; rises with its format
	folderMode   = 0o700
	saveDelay    = 100 * time.Millisecond // gathers changes that come together
	saveInterval = 30 * time.Second       // keeps the stored age near the true one
)

// Folder keeps a copy of the catalog in the data folder, for a start while the
// platform and the peers cannot be reached. Keys are kept by their hashes.
type Folder struct {
	path string
	kick chan struct{}
}

// NewFolder returns a folder; it is made when it does not exist.
func NewFolder(dir string) (*Folder, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, errors.Wrap(err, "make data folder; check host.data_folder")
	}
	return &Folder{path: filepath.Join(dir, folderFile), kick: make(chan struct{}, 1)}, nil
}

// Load reads the copy. It returns nil when there is none, and an error when it
// is damaged or of another format.
func (f *Folder) Load() (*State, error) {
	text, err := os.ReadFile(f.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read catalog copy")
	}
	head, body, found := bytes.Cut(text, []byte("\n"))
	if !found || string(head) != header(body) {
		return nil, errors.New("catalog copy is damaged or of another format; it is written anew")
	}
	state := new(State)
	if err := json.Unmarshal(body, state); err != nil {
		return nil, errors.Wrap(err, "decode catalog copy")
	}
	return state, nil
}

func header(body []byte) string {
	sum := sha256.Sum256(body)
	return folderFormat + " " + hex.EncodeToString(sum[:])
}

// Save replaces the copy in one step, so that a crash leaves the old one or the
// new one.
func (f *Folder) Save(s State) error {
	body, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode catalog copy")
	}
	temporary, err := os.CreateTemp(filepath.Dir(f.path), folderFile+".*")
	if err != nil {
		return errors.Wrap(err, "write catalog copy")
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	_, err = fmt.Fprintf(temporary, "%s\n%s", header(body), body)
	if err == nil {
		err = temporary.Sync()
	}
	if cerr := temporary.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(temporary.Name(), f.path)
	}
	if err != nil {
		return errors.Wrap(err, "write catalog copy")
	}
	return nil
}

// run saves the catalog after each change and now and then, until ctx is done.
func (f *Folder) run(ctx context.Context, c *Catalog, log logrus.FieldLogger) {
	c.OnChange(func(*Snapshot) {
		select {
		case f.kick <- struct{}{}:
		default:
		}
	})
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-f.kick:
			sleep(ctx, saveDelay)
		}
		if err := f.Save(c.Export(time.Now())); err != nil {
			log.WithError(err).WithField("event", "catalog_save_failed").Warn("the data folder's copy is old")
		}
	}
}
