package config

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// Operator holds the settings in the operators' file.
type Operator struct {
	// Rho is the factor by which a job's estimated run time and queueing time are multiplied
	// when the slack before the job's deadline is computed.
	Rho float64 `toml:"rho"`
	// DeadlineFactor times the estimated run time is the deadline of a job that was
	// submitted without a deadline.
	DeadlineFactor float64 `toml:"default_deadline_factor"`
	// IdleTimeoutBootFactor times the boot time of a machine's type is how long the machine
	// is kept idle before scale in, at the type's lowest price. A higher price shortens this
	// time.
	IdleTimeoutBootFactor float64 `toml:"give_back_boot_factor"`
	// CloudCallShare is the share of the cloud's call rate limit that a controller uses.
	CloudCallShare float64 `toml:"cloud_call_share"`
	// Estimator selects the run-time estimate: estimatorRecent corrects the user's estimate
	// by the recent runs of the job's class, estimatorUser uses it unchanged.
	Estimator string `toml:"estimator"`
}

// DefaultOperator returns the values used without an operators' file.
func DefaultOperator() Operator {
	return Operator{Rho: 1, DeadlineFactor: 3, IdleTimeoutBootFactor: 4, CloudCallShare: 0.8, Estimator: estimatorRecent}
}

// load reads the operators' file. Settings that are not in the file keep their values.
func (o *Operator) load(path string) error {
	metadata, err := toml.DecodeFile(path, o)
	if err != nil {
		return err
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("field %s: unknown", unknown[0])
	}
	return o.check()
}

// The values of Estimator.
const (
	estimatorRecent = "recent"
	estimatorUser   = "user"
)

// check returns an error for an unknown estimator, or else for every number that is out of
// its range.
func (o Operator) check() error {
	if o.Estimator != estimatorRecent && o.Estimator != estimatorUser {
		return fmt.Errorf("field estimator: %q is neither \"recent\" nor \"user\"", o.Estimator)
	}
	return errors.Join(
		checkRange("rho", o.Rho, 0, 10),
		checkRange("default_deadline_factor", o.DeadlineFactor, 1, 100),
		checkRange("give_back_boot_factor", o.IdleTimeoutBootFactor, 0, 100),
		checkRange("cloud_call_share", o.CloudCallShare, 0.05, 1),
	)
}

// checkRange refuses a value outside of low to high, and NaN, for which no comparison holds.
func checkRange(field string, value, low, high float64) error {
	if !(value >= low && value <= high) {
		return fmt.Errorf("field %s: %v is not within %v to %v", field, value, low, high)
	}
	return nil
}
