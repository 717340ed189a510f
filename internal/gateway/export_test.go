package gateway

// SetBodiesBound sets the limit on the bytes of request bodies that the host holds.
func (g *Gateway) SetBodiesBound(bytes int64) { g.bodies.limit = bytes }
