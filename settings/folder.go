package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// fileSuffix marks the files of a folder that are read.
const fileSuffix = ".ini"

// maxFileBytes bounds one file, so that a wrong folder does not exhaust memory.
const maxFileBytes = 1 << 20

// Files lists the files of a folder that are read, in the order in which they
// are merged, and the names that are ignored: hidden files, folders and names
// without the suffix ".ini".
func Files(dir string) (read, ignored []string, err error) {
	entries, err := os.ReadDir(dir) // sorted by name
	if err != nil {
		return nil, nil, err
	}
	for _, entry := range entries {
		name := entry.Name()
		if entry.IsDir() || strings.HasPrefix(name, ".") || !strings.HasSuffix(name, fileSuffix) {
			ignored = append(ignored, name)
			continue
		}
		read = append(read, filepath.Join(dir, name))
	}
	return read, ignored, nil
}

// loadFolder reads and merges the files of a folder.
func loadFolder(schema *Schema, dir string) *mergedSettings {
	m := newMergedSettings(schema, dir)
	files, _, err := Files(dir)
	if err != nil {
		m.report(dir, 0, "", fmt.Sprintf("the folder cannot be read: %v", err), "")
		return m
	}
	if len(files) == 0 {
		m.report(dir, 0, "", "the folder has no files ending in "+fileSuffix, "")
		return m
	}
	for _, file := range files {
		content, err := readFile(file)
		if err != nil {
			m.report(file, 0, "", err.Error(), "")
			continue
		}
		m.add(file, content)
	}
	m.complete()
	return m
}

func readFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fmt.Errorf("the file cannot be read: %w", err)
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("not a regular file")
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("the file has %d bytes, more than %d", info.Size(), maxFileBytes)
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("the file cannot be read: %w", err)
	}
	return content, nil
}
