package cloud

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"

	"marblehaven/internal/codec"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
)

type pageTransport func(after string) (int, protocol.MachineList)

func (p pageTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	status, page := p(r.URL.Query().Get("after"))
	body, _ := codec.Marshal(page)
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

// At a fleet's size the list has several pages. Where one of them fails there is
// no list: a part of one would look like machines that are gone.
func TestListPages(t *testing.T) {
	page := func(from int) protocol.MachineList {
		var list protocol.MachineList
		for i := from; i < from+500; i++ {
			list.Machines = append(list.Machines, protocol.ListedMachine{ID: fmt.Sprintf("m-%06d", i)})
		}
		list.More = from < 2000
		return list
	}
	failingPage := -1
	client := New("cloud:1", pageTransport(func(after string) (int, protocol.MachineList) {
		from := 0
		if n, _ := fmt.Sscanf(after, "m-%d", &from); n == 1 {
			from++
		}
		if from == failingPage {
			return 503, protocol.MachineList{}
		}
		return 200, page(from)
	}), httpclient.NewMalformedLog(slog.New(slog.DiscardHandler)), 1000)
	if all, err := client.ListMachines(t.Context()); err != nil || len(all) != 2500 || all[2499].ID != "m-002499" {
		t.Errorf("listed %d machines: %v", len(all), err)
	}
	for name, page := range map[string]protocol.MachineList{
		"empty":    {More: true},
		"repeated": {More: true, Machines: []protocol.ListedMachine{{ID: "m-000001"}}},
	} {
		broken := pageTransport(func(string) (int, protocol.MachineList) { return 200, page })
		all, err := New("cloud:1", broken, httpclient.NewMalformedLog(slog.New(slog.DiscardHandler)), 1000).ListMachines(t.Context())
		if !errors.Is(err, ErrUnavailable) || all != nil {
			t.Errorf("a list with a page that is %s: %d machines, %v", name, len(all), err)
		}
	}
	failingPage = 1500
	if all, err := client.ListMachines(t.Context()); !errors.Is(err, ErrUnavailable) || all != nil {
		t.Errorf("a page failed: listed %d machines: %v", len(all), err)
	}
}
