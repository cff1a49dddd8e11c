package scheduler

import (
	"maps"
	"slices"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// referenceModel places tasks one at a time, each on the machine with the lowest cost,
// and evaluates all machines again for each task. It shares only the order of the jobs,
// prices and idle timeouts with the planner; its conditions are implemented a second time
// on purpose.
type referenceModel struct {
	snapshot     *Snapshot
	machines     []referenceMachine
	teams        []Team
	gpuWorkWaits bool
	// lowestGPUPriority is a bound: only jobs of a lower priority may run on machines with
	// idle GPUs.
	lowestGPUPriority protocol.PriorityLevel
	// placed counts tasks by job and machine, see placementKey.
	placed map[string]int
}

// referenceMachine is the state of a machine that changes while tasks are placed.
type referenceMachine struct {
	free           Resources
	runsGPUWork    bool
	images         []string
	pendingFetchGB float64
}

// referenceJob is a job whose tasks are being placed.
type referenceJob struct {
	*Job
	limit       int // tasks that may still be placed
	tasksByZone map[string]int
}

func placementKey(job *Job, machine *Machine) string { return string(job.ID) + "@" + machine.ID }

// referencePlacements returns the expected number of tasks by job and machine, see
// placementKey.
func referencePlacements(snapshot *Snapshot) map[string]int {
	model := newReferenceModel(snapshot)
	for _, jobIndex := range Order(snapshot) {
		if job := &snapshot.Jobs[jobIndex]; !job.BackingOff && job.Waiting > 0 {
			model.placeJob(job)
		}
	}
	return model.placed
}

func newReferenceModel(snapshot *Snapshot) *referenceModel {
	model := &referenceModel{
		snapshot:          snapshot,
		teams:             slices.Clone(snapshot.Teams),
		lowestGPUPriority: snapshot.LowestGPUPriority,
		placed:            map[string]int{},
	}
	if model.lowestGPUPriority < 0 {
		model.lowestGPUPriority = 2 // no work with GPUs is known: only the lowest priority
	}
	for _, job := range snapshot.Jobs {
		model.gpuWorkWaits = model.gpuWorkWaits || (job.Request.GPUs > 0 && job.Waiting > 0 && !job.BackingOff)
	}
	for _, machine := range snapshot.Machines {
		model.machines = append(model.machines, referenceMachine{
			free:           machine.Free,
			images:         slices.Clone(machine.Images),
			pendingFetchGB: machine.PendingFetchGB,
		})
	}
	return model
}

// placeJob places the tasks of a job. Tasks of player-facing services go to machines with
// their image first, then to any.
func (m *referenceModel) placeJob(waiting *Job) {
	job := &referenceJob{Job: waiting, limit: m.tasksWithinQuota(waiting), tasksByZone: map[string]int{}}
	maps.Copy(job.tasksByZone, waiting.RunningByZone)
	stages := []bool{false}
	if job.Priority == 0 && job.Spec.Kind == protocol.KindService {
		stages = []bool{true, false}
	}
	for _, cached := range stages {
		machines := m.chooseMachines(job, cached)
		if job.Spec.Kind == protocol.KindGang && len(machines) < job.Waiting {
			continue
		}
		job.limit -= len(machines)
		for _, i := range machines {
			m.startTask(job, i)
		}
	}
}

// tasksWithinQuota counts the waiting tasks that can be added one by one before the
// team's quota is exceeded.
func (m *referenceModel) tasksWithinQuota(job *Job) int {
	team := m.teams[job.Team]
	tasks := 0
	for used := team.Used; tasks < job.Waiting; tasks++ {
		used = used.Minus(job.Request, -1)
		if (team.Max.Cores > 0 && used.Cores > team.Max.Cores) || (team.Max.GPUs > 0 && used.GPUs > team.Max.GPUs) {
			break
		}
	}
	return tasks
}

// startTask puts a task of the job on the i-th machine.
func (m *referenceModel) startTask(job *referenceJob, i int) {
	machine := &m.machines[i]
	if !slices.Contains(machine.images, job.Spec.Image) {
		machine.images = append(machine.images, job.Spec.Image)
		machine.pendingFetchGB += job.Spec.ImageGB
	}
	machine.free = machine.free.Minus(job.Request, 1)
	machine.runsGPUWork = machine.runsGPUWork || job.Spec.GPUs > 0
	job.tasksByZone[m.snapshot.Machines[i].Zone]++
	team := &m.teams[job.Team]
	team.Used = team.Used.Minus(job.Request, -1)
	m.placed[placementKey(job.Job, &m.snapshot.Machines[i])]++
}

// chooseMachines returns the machine for each task that can be placed.
func (m *referenceModel) chooseMachines(job *referenceJob, cached bool) []int {
	machines := m.search(job, cached, "").run()
	if job.Spec.OneZone {
		return m.chooseInOneZone(job, cached, machines)
	}
	return machines
}

// chooseInOneZone chooses the zone that takes the most tasks; among equal ones the zone
// with the least capacity, and then that of the cheapest machine. unrestricted lists the
// machines chosen from all zones.
func (m *referenceModel) chooseInOneZone(job *referenceJob, cached bool, unrestricted []int) []int {
	preferred := slices.Clone(zones)
	if len(unrestricted) > 0 && m.snapshot.Machines[unrestricted[0]].Zone == zones[1] {
		slices.Reverse(preferred)
	}
	if m.capacityOfZone(job, cached, preferred[1]) < m.capacityOfZone(job, cached, preferred[0]) {
		slices.Reverse(preferred)
	}
	var best []int
	for _, zone := range preferred {
		if machines := m.search(job, cached, zone).run(); len(machines) > len(best) {
			best = machines
		}
	}
	return best
}

// capacityOfZone returns how many tasks of the job the zone could take, regardless of how
// many are to be placed.
func (m *referenceModel) capacityOfZone(job *referenceJob, cached bool, zone string) int {
	search := m.search(job, cached, zone)
	search.unlimited = true
	return len(search.run())
}

// referenceSearch places tasks of a job on copies of the free resources, so that the
// model does not change.
type referenceSearch struct {
	model       *referenceModel
	job         *referenceJob
	cached      bool   // only on machines that have the image
	onlyZone    string // "": any
	unlimited   bool   // place as many tasks as there is capacity for
	free        []Resources
	tasksByZone map[string]int
}

func (m *referenceModel) search(job *referenceJob, cached bool, onlyZone string) *referenceSearch {
	search := &referenceSearch{model: m, job: job, cached: cached, onlyZone: onlyZone, tasksByZone: maps.Clone(job.tasksByZone)}
	for i := range m.machines {
		search.free = append(search.free, m.machines[i].free)
	}
	return search
}

// run returns the machine for each task that can be placed.
func (s *referenceSearch) run() []int {
	var chosen []int
	for len(chosen) < s.job.limit || s.unlimited {
		best := s.cheapest()
		if best < 0 {
			break
		}
		s.free[best] = s.free[best].Minus(s.job.Request, 1)
		s.tasksByZone[s.model.snapshot.Machines[best].Zone]++
		chosen = append(chosen, best)
	}
	return chosen
}

// cheapest returns the machine with the lowest cost for the next task, or -1 if there is
// none.
func (s *referenceSearch) cheapest() int {
	best, bestCost := -1, 0.0
	for i := range s.model.snapshot.Machines {
		if !s.admits(i) {
			continue
		}
		cost := s.cost(i)
		if best < 0 || cost < bestCost-1e-9 || (cost < bestCost+1e-9 && s.winsTie(i, best)) {
			best, bestCost = i, cost
		}
	}
	return best
}

// admits reports whether the next task may run on the i-th machine.
func (s *referenceSearch) admits(i int) bool {
	machine := &s.model.snapshot.Machines[i]
	return machine.Schedulable && s.fits(i) && s.allowsMachine(machine) && s.allowsZone(machine.Zone) &&
		s.allowsGPUs(i) && s.allowsFetch(i)
}

// fits reports whether the machine has the task's request free.
func (s *referenceSearch) fits(i int) bool {
	free, request := s.free[i], s.job.Request
	return free.Cores >= request.Cores && free.GPUs >= request.GPUs && free.MemGB >= request.MemGB
}

// allowsMachine reports whether the job accepts the machine's type and purchase option.
func (s *referenceSearch) allowsMachine(machine *Machine) bool {
	spec := s.job.Spec
	typeAllowed := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, s.model.snapshot.Types[machine.Type].Name)
	return typeAllowed && (!machine.Spot || spec.Spot)
}

// allowsZone reports whether the job's conditions allow one more task in the zone.
func (s *referenceSearch) allowsZone(zone string) bool {
	spec := s.job.Spec
	if (spec.Zone != "" && spec.Zone != zone) || (s.onlyZone != "" && s.onlyZone != zone) {
		return false
	}
	if spec.OneZone && s.tasksByZone[zones[0]]+s.tasksByZone[zones[1]] > 0 && s.tasksByZone[zone] == 0 {
		return false
	}
	half := (spec.Tasks + 1) / 2
	return !spec.Spread || s.tasksByZone[zone] < half || (s.unlimited && s.job.tasksByZone[zone] < half)
}

// allowsGPUs reports whether the GPUs of the machine, if any, allow the job. A job that
// can run without GPUs is allowed only beside work that uses them, or while no such work
// waits.
func (s *referenceSearch) allowsGPUs(i int) bool {
	model, machine, spec := s.model, &s.model.snapshot.Machines[i], s.job.Spec
	if model.snapshot.Types[machine.Type].Capacity.GPUs == 0 || spec.GPUs > 0 || !fitsTypeWithoutGPUs(model.snapshot, spec) {
		return true
	}
	switch {
	case spec.Kind == protocol.KindService:
		return false
	case model.machines[i].runsGPUWork:
		return s.leavesGPURequestFree(i)
	}
	return !model.gpuWorkWaits && s.job.Priority > model.lowestGPUPriority && spec.Kind != protocol.KindGang &&
		machine.GPUIdleS < model.snapshot.idleTimeout(machine)
}

// leavesGPURequestFree reports whether the largest request with GPUs, if it fits now,
// still fits beside the task.
func (s *referenceSearch) leavesGPURequestFree(i int) bool {
	free, request, reserved := s.free[i], s.job.Request, s.model.snapshot.LargestGPURequest
	if free.Cores < reserved.Cores || free.GPUs < reserved.GPUs || free.MemGB < reserved.MemGB {
		return true
	}
	return free.Cores-reserved.Cores >= request.Cores && free.MemGB-reserved.MemGB >= request.MemGB
}

// allowsFetch reports whether the machine has the image or may fetch one more.
func (s *referenceSearch) allowsFetch(i int) bool {
	machine := &s.model.machines[i]
	if slices.Contains(machine.images, s.job.Spec.Image) {
		return true
	}
	rate := s.model.snapshot.Types[s.model.snapshot.Machines[i].Type].FetchGBps
	return !s.cached && machine.pendingFetchGB <= tuning.FetchAheadS*rate
}

// cost returns the price of a task's share of the machine times the estimate, which
// includes all fetches.
func (s *referenceSearch) cost(i int) float64 {
	machine, state := &s.model.snapshot.Machines[i], &s.model.machines[i]
	machineType := s.model.snapshot.Types[machine.Type]
	estimateS := s.job.EstimateS
	if !slices.Contains(state.images, s.job.Spec.Image) {
		estimateS += (s.job.Spec.ImageGB + state.pendingFetchGB) / machineType.FetchGBps
	}
	return machineType.HourlyPrice(machine.Spot) / float64(machineType.Capacity.CapacityFor(s.job.Request)) * max(estimateS, 1)
}

// winsTie reports whether the i-th machine is preferred over the best one so far at equal
// cost: the fuller one is preferred, or for work with GPUs the one whose GPUs were used
// last.
func (s *referenceSearch) winsTie(i, best int) bool {
	machines := s.model.snapshot.Machines
	if s.job.Spec.GPUs > 0 {
		return machines[i].GPUIdleS < machines[best].GPUIdleS
	}
	return s.free[i].Cores < s.free[best].Cores
}

// fitsTypeWithoutGPUs reports whether there is a machine type without GPUs for the job.
func fitsTypeWithoutGPUs(snapshot *Snapshot, spec *protocol.Job) bool {
	for _, machineType := range snapshot.Types {
		capacity := machineType.Capacity
		typeAllowed := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machineType.Name)
		if capacity.GPUs == 0 && spec.Cores <= capacity.Cores && spec.MemGB <= capacity.MemGB && typeAllowed {
			return true
		}
	}
	return false
}
