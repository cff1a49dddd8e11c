package scheduler

import (
	"math"
)

// rent asks for the cheapest offers that hold n tasks (P2), sized to them; what
// a rented machine has left over counts as coming room for the jobs behind.
// With in, only there: the rest of a gang is to come to where it has room.
func (p *planner) rent(ji, n int, zones map[string]int, keepOff bool, in string) {
	j := &p.s.Jobs[ji]
	d := j.Desc
	for n > 0 {
		best, bestCost, bestSlots := Offer{}, math.Inf(1), 0
		for ti := range p.s.Types {
			t := &p.s.Types[ti]
			if !TypeFits(t, d) || (keepOff && t.Total.GPUs > 0) {
				continue
			}
			slots := t.Total.Slots(j.Need)
			for _, z := range t.Zones {
				k := min(n, ZoneRoom(d, zones, z))
				if k == 0 || (in != "" && z != in) {
					continue
				}
				for _, spot := range []bool{true, false} {
					o := Offer{ti, z, spot}
					if (spot && !d.Spot) || p.s.Refused[o] {
						continue
					}
					cost := t.PriceOf(spot) * math.Ceil(float64(k)/float64(slots)) / float64(k)
					if cost < bestCost-eps {
						best, bestCost, bestSlots = o, cost, slots
					}
				}
			}
		}
		if bestSlots == 0 {
			return
		}
		k := min(n, ZoneRoom(d, zones, best.Zone))
		count := (k + bestSlots - 1) / bestSlots
		for left := k; left > 0; left -= bestSlots {
			p.open = append(p.open, len(p.pool))
			p.pool = append(p.pool, Machine{Type: best.Type, Zone: best.Zone, Spot: best.Spot, Coming: true,
				Free: p.s.Types[best.Type].Total.Sub(j.Need, min(left, bestSlots))})
		}
		zones[best.Zone] += k
		n -= k
		if j.Rank == 0 {
			p.spare[best] += count
		}
		p.addRent(best, count)
	}
}

func (p *planner) addRent(o Offer, count int) {
	for i := range p.plan.Rents {
		if p.plan.Rents[i].Offer == o {
			p.plan.Rents[i].Count += count
			return
		}
	}
	p.plan.Rents = append(p.plan.Rents, Rent{o, count})
}
