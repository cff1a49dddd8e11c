package leader

import (
	"context"
	"errors"

	"marblehaven/internal/clock"
	"marblehaven/internal/codec"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// watchVersions reads which version each controller has recorded. Once all that
// the settings name read the formats of this program, it records that the whole
// cluster uses them, guarded by the term. A controller never goes back to an
// earlier version, so that holds for good.
func (c *Leader) watchVersions(ctx context.Context) {
	for {
		m, err := c.readVersions(ctx)
		if err == nil && !m.committed && c.allRead(m.formats) {
			m.committed = c.commitFormat(ctx)
		}
		if err != nil {
			c.Log.Debug("reading the controllers' versions", "err", err)
		} else {
			c.post(m)
		}
		if m.committed || !clock.Sleep(ctx, tuning.VersionCheckInterval) {
			return
		}
	}
}

func (c *Leader) readVersions(ctx context.Context) (m versionsResult, err error) {
	m.formats = map[string]int{}
	page, err := c.Store.ListAll(ctx, records.PrefixNode)
	if err != nil {
		return m, err
	}
	for _, entry := range page.Entries {
		var v records.FormatVersion
		if err := codec.Unmarshal(entry.Value, &v); err != nil {
			c.Log.Error("unreadable version record", "key", entry.Key, "err", err)
			continue // it counts as an earlier version
		}
		m.formats[entry.Key[len(records.PrefixNode):]] = v.Format
	}
	_, err = c.Store.Get(ctx, records.KeyCluster)
	m.committed = err == nil
	if errors.Is(err, kvstore.ErrNotFound) {
		err = nil
	}
	return m, err
}

// allRead tells whether every controller of the settings reads what this program
// writes.
func (c *Leader) allRead(formats map[string]int) bool {
	if formats[c.Config.Node] < records.FormatSupported {
		return false
	}
	for _, p := range c.Config.Peers {
		if formats[p.Node] < records.FormatSupported {
			return false
		}
	}
	return true
}

func (c *Leader) commitFormat(ctx context.Context) bool {
	_, err := c.Store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: records.KeyTerm, Version: c.leadership.TermVersion}},
		Mutations:     []protocol.Mutation{{Set: records.KeyCluster, Value: records.FormatVersion{Format: records.FormatSupported}}},
	})
	if err != nil {
		c.Log.Info("recording the cluster's version", "err", err) // read again before the next try
	}
	return err == nil
}

func (c *Leader) onVersions(m versionsResult) {
	c.formats.byController = m.formats
	if m.committed {
		c.useFormat(records.FormatSegmented)
	}
}

// useFormat writes records in a version of the formats from now on.
func (c *Leader) useFormat(format int) {
	if format <= c.formats.cluster {
		return
	}
	c.formats.cluster = format
	c.cycle.needed = true
	c.Store.UseAnnouncedLimits()
	c.Log.Info("cluster version", "format", format)
}

// maxPlacements is how many tasks of a job may be in flight: any number once its run
// record is kept in pieces, otherwise what one record surely holds.
func (c *Leader) maxPlacements() int {
	if c.formats.cluster >= records.FormatSegmented {
		return tuning.MaxTasks
	}
	return max(1, c.Store.MaxValueBytes()/2/tuning.RecordEntryBytes)
}
