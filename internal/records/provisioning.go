package records

// ProvisioningRequest is a rental, written before its call. A claim's name is never reused.
type ProvisioningRequest struct {
	ID          string `msgpack:"c"`
	Type        string `msgpack:"t"`
	Zone        string `msgpack:"z"`
	Spot        bool   `msgpack:"s"`
	Count       int    `msgpack:"n"`
	RequestedMS int64  `msgpack:"a"`
}
