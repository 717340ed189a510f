package httpreset

// Unfinished returns the number of connections with a response in progress.
func (g *Guard) Unfinished() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.unfinished)
}
