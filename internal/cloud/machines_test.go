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

// pageTransport is a transport that answers a list request with a status and a page computed
// from the ID after which the page starts.
type pageTransport func(after string) (int, protocol.MachineList)

func (p pageTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	status, page := p(r.URL.Query().Get("after"))
	body, _ := codec.Marshal(page)
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

// TestListPages checks that a list of several pages is read completely, and that there is an
// error and no list if one of the pages fails: the machines that are missing in a part of
// the list would count as removed.
func TestListPages(t *testing.T) {
	page := func(from int) protocol.MachineList {
		var list protocol.MachineList
		for i := from; i < from+500; i++ {
			list.Machines = append(list.Machines, protocol.ListedMachine{ID: fmt.Sprintf("m-%06d", i)})
		}
		list.More = from < 2000
		return list
	}
	firstOfFailingPage := -1
	client := New("cloud:1", pageTransport(func(after string) (int, protocol.MachineList) {
		from := 0
		if n, _ := fmt.Sscanf(after, "m-%d", &from); n == 1 {
			from++
		}
		if from == firstOfFailingPage {
			return 503, protocol.MachineList{}
		}
		return 200, page(from)
	}), httpclient.NewMalformedLog(slog.New(slog.DiscardHandler)), 1000)
	if all, err := client.ListMachines(t.Context()); err != nil || len(all) != 2500 || all[2499].ID != "m-002499" {
		t.Errorf("listed %d machines, error %v; want 2500 up to m-002499", len(all), err)
	}
	for name, page := range map[string]protocol.MachineList{
		"empty":    {More: true},
		"repeated": {More: true, Machines: []protocol.ListedMachine{{ID: "m-000001"}}},
	} {
		broken := pageTransport(func(string) (int, protocol.MachineList) { return 200, page })
		all, err := New("cloud:1", broken, httpclient.NewMalformedLog(slog.New(slog.DiscardHandler)), 1000).ListMachines(t.Context())
		if !errors.Is(err, ErrUnavailable) || all != nil {
			t.Errorf("with a page that is %s: listed %d machines, error %v; want none and ErrUnavailable", name, len(all), err)
		}
	}
	firstOfFailingPage = 1500
	if all, err := client.ListMachines(t.Context()); !errors.Is(err, ErrUnavailable) || all != nil {
		t.Errorf("with a page that fails: listed %d machines, error %v; want none and ErrUnavailable", len(all), err)
	}
}
