package cloud

import "errors"

var (
	// ErrNoCapacity: nothing of this type, zone and kind is to be had now.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrInvalidRequest: the cloud refused the request as malformed.
	ErrInvalidRequest = errors.New("cloud: malformed request")
	// ErrUnavailable: no usable answer; the request may be executed later.
	ErrUnavailable = errors.New("cloud: unavailable")
)
