package gateway

// SetMaxHeldBodyBytes sets the limit on the bytes of request bodies that the host holds.
func (g *Gateway) SetMaxHeldBodyBytes(bytes int64) { g.bodies.limit = bytes }
