package bronzereport

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
)

// SaveJSON writes v as indented JSON to the file path, and makes its
// directory if there is none.
func SaveJSON(path string, v any) (err error) {
	defer annotate(&err, "save "+path)
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return save(path, append(b, '\n'))
}

// LoadJSON reads what SaveJSON wrote into v. The error wraps os.ErrNotExist if
// there is no such file.
func LoadJSON(path string, v any) (err error) {
	defer annotate(&err, "load "+path)
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

// Save writes content, such as a plot, to the file path, and makes its
// directory if there is none.
func Save(path string, content io.WriterTo) (err error) {
	defer annotate(&err, "save "+path)
	var b bytes.Buffer
	if _, err = content.WriteTo(&b); err != nil {
		return err
	}
	return save(path, b.Bytes())
}

func save(path string, b []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o644)
}
