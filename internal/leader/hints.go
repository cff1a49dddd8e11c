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

// saveImageInventory writes what is known of the images on the next part of the machines.
// A new leader that knew nothing of it would start services where their image
// has to be fetched first. Losing a write does no harm.
func (c *Leader) saveImageInventory(now time.Time) {
	if now.Before(c.images.nextSave) || len(c.machines.sorted) == 0 || !c.writer.limiter.AllowN(now, 1) {
		return
	}
	c.images.nextSave = now.Add(tuning.ImageInventoryInterval)
	if c.images.nextMachine >= len(c.machines.sorted) {
		c.images.nextMachine, c.images.nextPart = 0, 0
	}
	h, n := newImageInventory(c.machines.sorted[c.images.nextMachine:], c.Config.Deployment.State.Smaller().ValueBytes())
	key := fmt.Sprint(records.PrefixImages, c.images.nextPart)
	c.images.nextMachine += n
	c.images.nextPart++
	go func() {
		_, err := c.Store.Commit(c.ctx, protocol.Transaction{
			Preconditions: []protocol.Precondition{{Key: records.KeyTerm, Version: c.leadership.TermVersion}},
			Mutations:     []protocol.Mutation{{Set: key, Value: h}},
		})
		if err != nil {
			c.Log.Debug("saving hints", "err", err)
		}
	}()
}

// newImageInventory describes the images on the first of the machines, as many as surely fit
// in a value of so many bytes as JSON, and returns how many these are.
func newImageInventory(machines []*cluster.Machine, bytes int) (h records.ImageInventory, n int) {
	h.Machines = map[string][]int{}
	size := tuning.ImageInventoryEntryBytes
	for n = 0; n < min(len(machines), tuning.ImageInventoryMachines); n++ {
		size += tuning.ImageInventoryEntryBytes + len(machines[n].ID)
		machines[n].EachImage(func(name string, _ float64) {
			size += tuning.ImageInventoryIndexBytes
			if !slices.Contains(h.Images, name) {
				size += tuning.ImageInventoryEntryBytes + len(name)
			}
		})
		if size > bytes && n > 0 {
			break
		}
		addImages(&h, machines[n])
	}
	return h, n
}

func addImages(h *records.ImageInventory, machine *cluster.Machine) {
	machine.EachImage(func(name string, gb float64) {
		i := slices.Index(h.Images, name)
		if i < 0 {
			i = len(h.Images)
			h.Images, h.SizesGB = append(h.Images, name), append(h.SizesGB, gb)
		}
		if l := h.Machines[machine.ID]; len(l) < tuning.ImageInventoryImages {
			h.Machines[machine.ID] = append(l, i)
		}
	})
}

// loadImageInventory reads what an earlier leader knew; without it all goes on.
func (c *Leader) loadImageInventory(ctx context.Context) {
	page, err := c.Store.ListAll(ctx, records.PrefixImages)
	if err != nil {
		c.Log.Debug("reading hints", "err", err)
		return
	}
	for _, entry := range page.Entries {
		var h records.ImageInventory
		if codec.Unmarshal(entry.Value, &h) == nil && len(h.Images) == len(h.SizesGB) {
			for id := range h.Machines {
				c.images.inherited[id] = &h
			}
		}
	}
}

// adoptImageInventory notes what an inherited machine has when it is first heard from.
func (c *Leader) adoptImageInventory(machine *cluster.Machine) {
	i, known := c.catalog.index[machine.Type]
	h := c.images.inherited[machine.ID]
	if !known {
		return
	}
	touch := func(name string, gb float64) { machine.RecordImageUse(name, gb, c.catalog.types[i].CacheGB) }
	if h != nil {
		for _, k := range slices.Backward(h.Machines[machine.ID]) {
			if k >= 0 && k < len(h.Images) {
				touch(h.Images[k], h.SizesGB[k])
			}
		}
		delete(c.images.inherited, machine.ID)
	}
	for k, placement := range machine.Placements {
		if job := c.jobs.open[k.Job]; job != nil && placement.State != "" && placement.State != protocol.TaskFetching {
			touch(job.spec.Image, job.spec.ImageGB)
		}
	}
}
