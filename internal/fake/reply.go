package fake

import (
	"net/http"

	"marblehaven/internal/codec"
)

func writeReply(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	if v != nil {
		b, err := codec.Marshal(v)
		if err != nil {
			panic(err)
		}
		w.Write(b)
	}
}
