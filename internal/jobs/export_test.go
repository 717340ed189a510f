package jobs

// SimulateSuspension does what a host does that finds out that it was frozen.
func (r *Runner) SimulateSuspension() {
	r.markAllUnverified()
	signal(r.verify)
}
