// Package marblehaven is a cluster scheduler as a library. A program loads the
// settings with LoadConfig and serves with Run; cmd/marblehaven is such a program.
package marblehaven

import (
	"context"
	"log/slog"

	"marblehaven/internal/config"
	"marblehaven/internal/server"
)

// Config holds the settings of one controller.
type Config = config.Config

// LoadConfig reads and checks the platform's settings and, unless its path is
// empty, the operators' settings.
func LoadConfig(path, operatorPath string) (*Config, error) {
	return config.Load(path, operatorPath)
}

// Run serves as a controller until ctx ends. It returns an error only if the
// controller cannot start: failures after that are retried.
func Run(ctx context.Context, cfg *Config, log *slog.Logger) error {
	return server.Run(ctx, cfg, log)
}
