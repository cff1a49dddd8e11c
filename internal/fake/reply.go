package fake

import (
	"net/http"

	"marblehaven/internal/codec"
)

// writeReply writes a status and, unless it is nil, a body in MessagePack.
func writeReply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	if body != nil {
		encoded, err := codec.Marshal(body)
		if err != nil {
			panic(err)
		}
		w.Write(encoded)
	}
}
