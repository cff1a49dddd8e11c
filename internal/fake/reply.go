package fake

import (
	"net/http"

	"marblehaven/internal/codec"
)

// writeReply writes a status and, unless body is nil, the body encoded in MessagePack.
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
