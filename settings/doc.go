// Package settings reads folders of INI files and the system configuration.
package settings
