package jobs

// maxRemoteJobs bounds the cache of jobs that other hosts own.
const maxRemoteJobs = 2000

// remoteCache holds jobs that other hosts own. Beyond its bounds it evicts the oldest entry;
// the latest one always stays. It is guarded by Runner.mu.
type remoteCache struct {
	limit int64 // of bytes; 0 is none
	bytes int64
	last  int64 // sequence number
	byID  map[string]*remoteJob
}

func newRemoteCache() remoteCache { return remoteCache{byID: map[string]*remoteJob{}} }

func (c *remoteCache) get(id string) (*remoteJob, bool) {
	m, known := c.byID[id]
	return m, known
}

func (c *remoteCache) put(m *remoteJob) {
	c.remove(m.id)
	for len(c.byID) > 0 && (len(c.byID) >= maxRemoteJobs || c.limit > 0 && c.bytes+m.bytes > c.limit) {
		c.remove(c.oldest())
	}
	c.last++
	m.sequence = c.last
	c.byID[m.id] = m
	c.bytes += m.bytes
}

func (c *remoteCache) oldest() string {
	var oldest *remoteJob
	for _, m := range c.byID {
		if oldest == nil || m.sequence < oldest.sequence {
			oldest = m
		}
	}
	return oldest.id
}

func (c *remoteCache) remove(id string) {
	if m, known := c.byID[id]; known {
		c.bytes -= m.bytes
		delete(c.byID, id)
	}
}
