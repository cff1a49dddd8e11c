package records

// ProvisioningRequest is a request for machines. It is recorded before the cloud is called, so
// that a new leader can repeat the call under the same ID. The cloud provisions the machines
// for an ID at most once, and an ID is never used for another request.
type ProvisioningRequest struct {
	ID          string `msgpack:"c"`
	Type        string `msgpack:"t"`
	Zone        string `msgpack:"z"`
	Spot        bool   `msgpack:"s"`
	Count       int    `msgpack:"n"`
	RequestedMS int64  `msgpack:"a"` // time of the request, in Unix milliseconds
}
