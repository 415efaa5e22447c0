package logging

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one line of key=value pairs per event.
func NewLogger(out io.Writer, level zerolog.Level) zerolog.Logger {
	return newLogger(keyValue(out), level)
}

func newLogger(out io.Writer, level zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(out).Level(level).With().Timestamp().Logger()
}

// keyValue returns a writer that turns the logger's JSON into key=value pairs.
func keyValue(out io.Writer) io.Writer {
	return zerolog.ConsoleWriter{
		Out:                 out,
		NoColor:             true,
		FormatTimestamp:     func(value any) string { return fmt.Sprintf("time=%v", value) },
		FormatLevel:         func(value any) string { return fmt.Sprintf("level=%v", value) },
		FormatMessage:       formatMessage,
		FormatFieldName:     func(name any) string { return fmt.Sprintf("%v=", name) },
		FormatErrFieldValue: formatValue,
		FormatFieldValue:    formatValue,
	}
}

// formatValue formats one value. The console writer passes lists and booleans
// as raw JSON.
func formatValue(value any) string {
	if raw, ok := value.([]byte); ok {
		return quoteIfNeeded(string(raw))
	}
	return quoteIfNeeded(fmt.Sprint(value))
}

func formatMessage(value any) string {
	if value == nil || value == "" {
		return ""
	}
	return "message=" + formatValue(value)
}

// quoteIfNeeded quotes a value that could not be read as one value otherwise.
func quoteIfNeeded(value string) string {
	if value != "" && !strings.ContainsAny(value, " \t\n\r\"=") {
		return value
	}
	if strings.HasPrefix(value, `"`) && strings.HasSuffix(value, `"`) && len(value) > 1 {
		return value // already quoted by the console writer
	}
	return fmt.Sprintf("%q", value)
}
