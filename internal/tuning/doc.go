// Package tuning holds every constant of the service, with its unit and the
// reason for its value. What operators may change is in config.Operator.
package tuning
