package bronzereport

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
)

// SaveJSON writes v as indented JSON to the file path, and creates its directory
// if necessary.
func SaveJSON(path string, v any) (err error) {
	defer annotate(&err, "save "+path)
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return writeFile(path, append(b, '\n'))
}

// LoadJSON reads the JSON file path into v. The error wraps os.ErrNotExist if the
// file does not exist.
func LoadJSON(path string, v any) (err error) {
	defer annotate(&err, "load "+path)
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

// Save writes content, such as a plot, to the file path, and creates its
// directory if necessary.
func Save(path string, content io.WriterTo) (err error) {
	defer annotate(&err, "save "+path)
	var b bytes.Buffer
	if _, err = content.WriteTo(&b); err != nil {
		return err
	}
	return writeFile(path, b.Bytes())
}

func writeFile(path string, b []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o644)
}
