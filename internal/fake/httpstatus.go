package fake

import (
	"errors"
	"net/http"

	"marblehaven/internal/httpclient"
)

// answeredStatus returns the HTTP status of the answer that led to an error of
// httpclient.Client.Do, or 0 if there was no usable answer. Without an error it returns OK.
func answeredStatus(err error) int {
	var answered *httpclient.StatusError
	switch {
	case err == nil:
		return http.StatusOK
	case errors.As(err, &answered):
		return answered.Status
	}
	return 0
}
