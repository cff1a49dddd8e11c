package fake

import (
	"net/http"

	"marblehaven/internal/codec"
)

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
