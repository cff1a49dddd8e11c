package fake

import (
	"errors"
	"net/http"

	"marblehaven/internal/httpclient"
)

// answeredStatus is the status of the answer behind an error of httpclient.Client.Do, and
// 0 when there was no usable answer.
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
