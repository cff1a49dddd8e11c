package sched

import (
	"cmp"
	"math"
	"slices"

	"marblehaven/internal/tuning"
)

// On which machines tasks are placed.
const (
	ready  = iota
	cached // ready, and the image is there
	coming // not up yet: tasks are only counted against their room
	// stopping: room that is made by stopping lower work
	stopping
)

// place puts up to n tasks on machines of the kind and returns how many found
// room.
func (p *planner) place(ji, n int, zones map[string]int, keepOff, gang bool, kind int) int {
	if n == 0 {
		return 0
	}
	j := &p.s.Jobs[ji]
	d := j.Desc
	type cand struct {
		m, room    int
		cost, left float64
	}
	sig, like := p.kind(j, kind, !gang)
	if like && p.full[sig] {
		return 0
	}
	var cands []cand
	for _, i := range p.open {
		m := &p.pool[i]
		if (kind == coming && !m.Coming) || (kind != coming && !m.Ready) || !p.allowed(m, d) || (kind == cached && !m.has(d.Image)) {
			continue
		}
		room := p.room(m, j, keepOff)
		if room == 0 || ZoneRoom(d, zones, m.Zone) == 0 {
			continue
		}
		t := &p.s.Types[m.Type]
		est := j.EstimateS
		if !m.has(d.Image) {
			// Fetches share the rate: one after another the first are there
			// sooner, and what waits meanwhile may find a better place.
			if kind == ready && m.FetchGB > tuning.FetchAheadS*t.FetchGBps {
				continue
			}
			est += fetchS(t, d)
			if t.FetchGBps > 0 {
				est += m.FetchGB / t.FetchGBps
			}
		}
		share := 1 / float64(max(1, t.Total.Slots(j.Need)))
		left := m.Free.Cores
		if j.Need.Cards > 0 {
			left = m.CardIdleS // the last used, so that others are given back
		}
		cands = append(cands, cand{i, room, t.PriceOf(m.Spot) * share * math.Max(est, 1), left})
	}
	slices.SortStableFunc(cands, func(a, b cand) int {
		// Equal cost: the fuller machine, so that others empty.
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.left, b.left))
	})
	try := func(only string) ([]Start, int) {
		var starts []Start
		z := map[string]int{}
		for k, v := range zones {
			z[k] = v
		}
		left := n
		for _, c := range cands {
			m := &p.pool[c.m]
			if only != "" && m.Zone != only {
				continue
			}
			k := min(left, c.room, ZoneRoom(d, z, m.Zone))
			if k <= 0 {
				continue
			}
			starts = append(starts, Start{ji, c.m, k})
			z[m.Zone] += k
			if left -= k; left == 0 {
				break
			}
		}
		return starts, n - left
	}
	starts, got := try("")
	if d.OneZone {
		// All in one zone: the zone that takes the most, and of those that take
		// all the one with the least room, so that the other keeps what a larger
		// gang will need.
		starts, got = nil, 0
		room := map[string]int{}
		for _, c := range cands {
			room[p.pool[c.m].Zone] += c.room
		}
		seen, at := map[string]bool{}, ""
		for _, c := range cands {
			if z := p.pool[c.m].Zone; !seen[z] {
				seen[z] = true
				if st, g := try(z); g > got || (g == got && room[z] < room[at]) {
					starts, got, at = st, g, z
				}
			}
		}
	}
	if like && got < n {
		p.full[sig] = true
	}
	if gang && got < n {
		return 0
	}
	for _, st := range starts {
		m := &p.pool[st.Machine]
		m.Free = m.Free.Sub(j.Need, st.Count)
		zones[m.Zone] += st.Count
		if kind != coming {
			if !m.has(d.Image) {
				m.Images = append(slices.Clip(m.Images), d.Image)
				m.FetchGB += d.ImageGB
			}
			m.Tasks = append(slices.Clip(m.Tasks), Running{Job: ji, Count: st.Count})
			p.plan.Starts = append(p.plan.Starts, st)
		}
	}
	return got
}
