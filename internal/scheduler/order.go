package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// Order sorts job indices by who is served first: player-facing production
// work, then what has waited too long, then work within a guarantee, then rank.
// Among equals the earliest deadline goes first, but where not all can be in
// time, the jobs that take the most room for what they count go behind the
// others, so that the most are (Moore's rule).
func Order(s *Snapshot) []int {
	idx := make([]int, len(s.Jobs))
	for i := range idx {
		idx[i] = i
	}
	cores, gpus := held(s)
	first := promoted(s, cores, gpus)
	group := func(a, b int) int {
		x, y := &s.Jobs[a], &s.Jobs[b]
		return cmp.Or(
			cmpBool(x.Rank == 0, y.Rank == 0),
			cmpBool(first[a], first[b]),
			cmpBool(x.Guaranteed, y.Guaranteed),
			cmp.Compare(x.Rank, y.Rank),
			cmpBool(x.Need.GPUs > 0, y.Need.GPUs > 0))
	}
	slices.SortStableFunc(idx, func(a, b int) int {
		x, y := &s.Jobs[a], &s.Jobs[b]
		if first[a] && first[b] {
			return overdue(x, y) // production is never among them
		}
		return cmp.Or(group(a, b), cmp.Compare(x.DueS, y.DueS), cmp.Compare(x.Ref, y.Ref))
	})
	load := 0.0 // time that the held machines need for what goes before
	loadGPUs := 0.0
	for i := 0; i < len(idx); {
		n := i + 1
		for n < len(idx) && group(idx[i], idx[n]) == 0 {
			n++
		}
		if s.Jobs[idx[i]].Need.GPUs > 0 {
			loadGPUs = inTime(s, idx[i:n], loadGPUs, first[idx[i]], func(j *Job) float64 { return j.work(j.Need.GPUs) / math.Max(gpus, 1) })
		} else {
			load = inTime(s, idx[i:n], load, first[idx[i]], func(j *Job) float64 { return j.work(j.Need.Cores) / math.Max(cores, 1) })
		}
		i = n
	}
	return idx
}

// promoted picks the jobs that have waited too long, the longest first, as long
// as what waits of them fits into a part of the held machines: without the bound
// an overload would turn all into a queue in which everything is late.
func promoted(s *Snapshot, cores, gpus float64) []bool {
	first := make([]bool, len(s.Jobs))
	var old []int
	for i := range s.Jobs {
		if j := &s.Jobs[i]; j.OverdueS > 0 && j.Waiting > 0 && !j.Resting && j.Rank > 0 {
			old = append(old, i)
		}
	}
	slices.SortFunc(old, func(a, b int) int { return overdue(&s.Jobs[a], &s.Jobs[b]) })
	leftCores, leftGPUs := cores*s.StarvationShare, gpus*s.StarvationShare
	idle := cores * s.StarvationShareIdle // of the lowest rank, with what of it runs
	for i := range s.Jobs {
		if j := &s.Jobs[i]; j.Rank == LowestRank && j.Need.GPUs == 0 {
			idle -= j.Need.Cores * float64(j.Live)
		}
	}
	anyCores, anyGPUs := false, false
	for _, i := range old {
		j := &s.Jobs[i]
		n := float64(j.Waiting)
		if j.Rank == LowestRank && j.Need.GPUs == 0 {
			if idle <= 0 {
				continue
			}
			idle -= j.Need.Cores * n
		}
		left, some, need := &leftCores, &anyCores, j.Need.Cores
		if j.Need.GPUs > 0 {
			left, some, need = &leftGPUs, &anyGPUs, j.Need.GPUs
		}
		if !*some || need*n <= *left {
			first[i], *some = true, true
			*left -= need * n
		}
	}
	return first
}

// overdue orders jobs that have waited too long, the longest first. Those that
// are too late anyway come behind those that can still begin in time: in a long
// overload the others would all be too late by a little.
func overdue(x, y *Job) int {
	return cmp.Or(cmpBool(!x.TooLate, !y.TooLate), cmp.Compare(y.OverdueS, x.OverdueS), cmp.Compare(x.Ref, y.Ref))
}

// held is the size of the held machines: cores of those without GPUs, and
// GPUs.
func held(s *Snapshot) (cores, gpus float64) {
	for i := range s.Machines {
		m := &s.Machines[i]
		if m.Ready || m.Coming || len(m.Tasks) > 0 {
			t := s.Types[m.Type].Total
			gpus += t.GPUs
			if t.GPUs == 0 {
				cores += t.Cores
			}
		}
	}
	return cores, gpus
}

// inTime puts the jobs of a group that can be in time first, in the order they
// are given, then the others, the smallest for what it counts first. It returns
// the load after it. Where the order is fixed nothing is put behind.
func inTime(s *Snapshot, idx []int, load float64, fixed bool, takes func(*Job) float64) float64 {
	by := make(largest, 0, len(idx))
	late := make([]bool, len(idx))
	var later []int
	for k, ji := range idx {
		j := &s.Jobs[ji]
		t := takes(j)
		load += t
		if fixed {
			continue
		}
		heap.Push(&by, sized{k, t, t / math.Max(j.Counts, 1)})
		if load+j.EstimateS <= j.DueS {
			continue
		}
		big := heap.Pop(&by).(sized)
		load -= big.takes
		late[big.k] = true
		later = append(later, big.k)
	}
	if len(later) == 0 {
		return load
	}
	per := func(k int) float64 { j := &s.Jobs[idx[k]]; return takes(j) / math.Max(j.Counts, 1) }
	slices.SortFunc(later, func(a, b int) int { return cmp.Or(cmp.Compare(per(a), per(b)), cmp.Compare(a, b)) })
	out := make([]int, 0, len(idx))
	for k, ji := range idx {
		if !late[k] {
			out = append(out, ji)
		}
	}
	for _, k := range later {
		out = append(out, idx[k])
		load += takes(&s.Jobs[idx[k]])
	}
	copy(idx, out)
	return load
}

// sized is the k-th job of a group with its load, in all and for each that
// counts; largest is a heap with the largest, and of equals the last, on top.
type sized struct {
	k          int
	takes, per float64
}

type largest []sized

func (l largest) Len() int { return len(l) }

func (l largest) Less(a, b int) bool {
	return l[a].per > l[b].per || (l[a].per == l[b].per && l[a].k > l[b].k)
}

func (l largest) Swap(a, b int) { l[a], l[b] = l[b], l[a] }

func (l *largest) Push(x any) { *l = append(*l, x.(sized)) }

func (l *largest) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

func cmpBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}
