package gateway

// SetBodiesBound replaces the bound on the bytes of bodies that are held.
func (g *Gateway) SetBodiesBound(bytes int64) { g.bodies.bound = bytes }
