package leader

import (
	"context"
	"errors"
	"time"

	"marblehaven/internal/clock"
	"marblehaven/internal/codec"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// formatVersions holds the version of the record formats that the whole cluster uses, and
// the newest version that each controller has recorded as supported.
type formatVersions struct {
	cluster      int
	byController map[string]int
}

func newFormatVersions() formatVersions {
	return formatVersions{cluster: records.FormatWhole, byController: map[string]int{}}
}

// segmented reports whether run records may be divided into segments.
func (f *formatVersions) segmented() bool { return f.cluster >= records.FormatSegmented }

// versionsResult holds the versions that the controllers have recorded.
type versionsResult struct {
	byController map[string]int
	committed    bool // the whole cluster uses records.FormatSupported
}

// pollVersions reads at intervals which format version each controller has recorded. Once
// all controllers in the settings support the formats of this program, pollVersions
// records that the whole cluster uses them, and returns. The write is conditional on the
// term. A controller never goes back to an earlier version, so the record stays valid.
func (l *Leader) pollVersions(ctx context.Context) {
	for {
		versions, err := l.readVersions(ctx)
		if err == nil && !versions.committed && l.allControllersSupportFormat(versions.byController) {
			versions.committed = l.commitFormat(ctx)
		}
		if err != nil {
			l.Log.Debug("reading the controllers' format versions failed, the read is retried", "err", err)
		} else {
			l.post(versions)
		}
		if versions.committed || !clock.Sleep(ctx, tuning.VersionCheckInterval) {
			return
		}
	}
}

func (l *Leader) readVersions(ctx context.Context) (versions versionsResult, err error) {
	versions.byController = map[string]int{}
	page, err := l.Store.ListAll(ctx, records.PrefixNodeVersion)
	if err != nil {
		return versions, err
	}
	for _, entry := range page.Entries {
		var version records.FormatVersion
		if err := codec.Unmarshal(entry.Value, &version); err != nil {
			l.Log.Error("format version record cannot be decoded, its controller counts as running an earlier version", "key", entry.Key, "err", err)
			continue
		}
		controller := entry.Key[len(records.PrefixNodeVersion):]
		versions.byController[controller] = version.Format
	}
	_, err = l.Store.Get(ctx, records.KeyClusterVersion)
	versions.committed = err == nil
	if errors.Is(err, kvstore.ErrNotFound) {
		err = nil
	}
	return versions, err
}

// allControllersSupportFormat reports whether every controller in the settings can read
// what this program writes.
func (l *Leader) allControllersSupportFormat(byController map[string]int) bool {
	if byController[l.Config.Node] < records.FormatSupported {
		return false
	}
	for _, peer := range l.Config.Peers {
		if byController[peer.Node] < records.FormatSupported {
			return false
		}
	}
	return true
}

func (l *Leader) commitFormat(ctx context.Context) bool {
	err := l.putRecord(ctx, records.KeyClusterVersion, records.FormatVersion{Format: records.FormatSupported})
	if err != nil {
		l.Log.Info("recording the cluster's format version failed, the write is retried unless the next poll finds the version recorded", "err", err)
	}
	return err == nil
}

// putRecord writes one record outside the batched commits, conditional on the term. It is
// for records that nothing waits for and whose loss does no harm.
func (l *Leader) putRecord(ctx context.Context, key string, value any) error {
	_, err := l.Store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: records.KeyTerm, Version: l.leadership.TermVersion}},
		Mutations:     []protocol.Mutation{{Set: key, Value: value}},
	})
	return err
}

func (v versionsResult) apply(leader *Leader, _ time.Time) {
	leader.formats.byController = v.byController
	if v.committed {
		leader.useFormat(records.FormatSegmented)
	}
}

// useFormat switches to a newer version of the record formats. A version that is not newer
// than the one in use has no effect.
func (l *Leader) useFormat(format int) {
	if format <= l.formats.cluster {
		return
	}
	l.formats.cluster = format
	l.cycle.request()
	l.Store.UseAnnouncedLimits()
	l.Log.Info("cluster version", "format", format)
}

// maxPlacements returns how many tasks of a job may be on machines at once: any number
// (tuning.MaxTasks) once the run record is divided into segments, otherwise as many as
// are certain to fit in half of a value, since the value holds the done tasks as well.
func (l *Leader) maxPlacements() int {
	if l.formats.segmented() {
		return tuning.MaxTasks
	}
	return max(1, l.Store.MaxValueBytes()/2/tuning.RecordEntryBytes)
}
