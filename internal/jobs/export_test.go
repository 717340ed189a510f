package jobs

// Doubt does what a host does that finds out that it was frozen.
func (r *Runner) Doubt() {
	r.doubtAll()
	signal(r.verify)
}
