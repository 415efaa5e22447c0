package server

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one line of key=value pairs per event.
func NewLogger(out io.Writer, level zerolog.Level) zerolog.Logger {
	writer := zerolog.ConsoleWriter{
		Out:             out,
		NoColor:         true,
		FormatTimestamp: func(value any) string { return fmt.Sprintf("time=%v", value) },
		FormatLevel:     func(value any) string { return fmt.Sprintf("level=%v", value) },
		FormatMessage:   formatMessage,
		FormatFieldName: func(name any) string { return fmt.Sprintf("%v=", name) },
		FormatErrFieldValue: func(value any) string {
			return quoteIfNeeded(fmt.Sprint(value))
		},
		FormatFieldValue: func(value any) string { return quoteIfNeeded(fmt.Sprint(value)) },
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(writer).Level(level).With().Timestamp().Logger()
}

func formatMessage(value any) string {
	if value == nil || value == "" {
		return ""
	}
	return fmt.Sprintf("message=%s", quoteIfNeeded(fmt.Sprint(value)))
}

// quoteIfNeeded keeps a value with spaces or quotes readable as one value.
func quoteIfNeeded(value string) string {
	if value != "" && !strings.ContainsAny(value, " \t\n\r\"=") {
		return value
	}
	if strings.HasPrefix(value, `"`) && strings.HasSuffix(value, `"`) && len(value) > 1 {
		return value // the writer has quoted it already
	}
	return fmt.Sprintf("%q", value)
}
