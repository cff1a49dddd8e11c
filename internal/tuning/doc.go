// Package tuning holds every constant of the service, in one file for each subject, with its
// unit and the reason for its value. Settings that operators may change are in
// config.Operator.
package tuning
