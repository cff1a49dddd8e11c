package leader

import (
	"context"
	"fmt"
	"slices"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// imageInventory records which images are cached on which machines, for the next leader.
// Without these records a new leader would start services on machines that have to fetch
// the image first. Nothing else depends on the records, so losing a write does no harm.
type imageInventory struct {
	inherited   map[string]*records.ImageInventory // from an earlier leader, by machine
	nextSave    time.Time                          // the earliest time of the next write
	nextPart    int                                // number of the next part
	nextMachine int                                // index of its first machine among the sorted ones
}

func newImageInventory() imageInventory {
	return imageInventory{inherited: map[string]*records.ImageInventory{}}
}

// saveImageInventory writes the next part of the inventory when that is due and the
// write budget allows it.
func (l *Leader) saveImageInventory(now time.Time) {
	if now.Before(l.images.nextSave) || len(l.machines.sorted) == 0 || !l.writer.limiter.AllowN(now, 1) {
		return
	}
	l.images.nextSave = now.Add(tuning.ImageInventoryInterval)
	if l.images.nextMachine >= len(l.machines.sorted) {
		l.images.nextMachine, l.images.nextPart = 0, 0
	}
	maxBytes := l.Config.Deployment.State.StricterLimits().ValueBytes()
	inventory, count := newImageInventoryRecord(l.machines.sorted[l.images.nextMachine:], maxBytes)
	key := fmt.Sprint(records.PrefixImageInventory, l.images.nextPart)
	l.images.nextMachine += count
	l.images.nextPart++
	go func() {
		if err := l.putRecord(l.ctx, key, inventory); err != nil {
			l.Log.Debug("saving a part of the image inventory failed, it is not retried", "err", err)
		}
	}()
}

// newImageInventoryRecord returns a part of the inventory with the first of the machines,
// and how many machines the part describes: at most tuning.ImageInventoryMachines, and
// only as many as fit in a value of maxBytes bytes as JSON by an upper estimate, but at
// least one.
func newImageInventoryRecord(machines []*cluster.Machine, maxBytes int) (inventory records.ImageInventory, count int) {
	inventory.Machines = map[string][]int{}
	bytes := tuning.ImageInventoryEntryBytes
	for count = 0; count < min(len(machines), tuning.ImageInventoryMachines); count++ {
		machine := machines[count]
		bytes += tuning.ImageInventoryEntryBytes + len(machine.ID)
		machine.EachImage(func(name string, _ float64) {
			bytes += tuning.ImageInventoryIndexBytes
			if !slices.Contains(inventory.Images, name) {
				bytes += tuning.ImageInventoryEntryBytes + len(name)
			}
		})
		if bytes > maxBytes && count > 0 {
			break
		}
		addImages(&inventory, machine)
	}
	return inventory, count
}

func addImages(inventory *records.ImageInventory, machine *cluster.Machine) {
	machine.EachImage(func(name string, sizeGB float64) {
		i := slices.Index(inventory.Images, name)
		if i < 0 {
			i = len(inventory.Images)
			inventory.Images = append(inventory.Images, name)
			inventory.SizesGB = append(inventory.SizesGB, sizeGB)
		}
		if images := inventory.Machines[machine.ID]; len(images) < tuning.ImageInventoryImages {
			inventory.Machines[machine.ID] = append(images, i)
		}
	})
}

// loadImageInventory reads the inventory that an earlier leader wrote. The leader works
// without it if the read fails.
func (l *Leader) loadImageInventory(ctx context.Context) {
	page, err := l.Store.ListAll(ctx, records.PrefixImageInventory)
	if err != nil {
		l.Log.Debug("reading the image inventory failed, continuing without it", "err", err)
		return
	}
	for _, entry := range page.Entries {
		var inventory records.ImageInventory
		if codec.Unmarshal(entry.Value, &inventory) != nil || len(inventory.Images) != len(inventory.SizesGB) {
			continue
		}
		for id := range inventory.Machines {
			l.images.inherited[id] = &inventory
		}
	}
}

// restoreImages records the images of a machine when its first status of this term is
// applied: those in the inherited inventory, and those of the tasks that run there.
func (l *Leader) restoreImages(machine *cluster.Machine) {
	typeIndex, known := l.catalog.index[machine.Type]
	if !known {
		return
	}
	cacheGB := l.catalog.types[typeIndex].CacheGB
	if inventory := l.images.inherited[machine.ID]; inventory != nil {
		for _, i := range slices.Backward(inventory.Machines[machine.ID]) {
			if i >= 0 && i < len(inventory.Images) {
				machine.RecordImageUse(inventory.Images[i], inventory.SizesGB[i], cacheGB)
			}
		}
		delete(l.images.inherited, machine.ID)
	}
	for key, placement := range machine.Placements {
		job := l.jobs.open[key.Job]
		if job != nil && placement.State != "" && placement.State != protocol.TaskFetching {
			machine.RecordImageUse(job.spec.Image, job.spec.ImageGB, cacheGB)
		}
	}
}
