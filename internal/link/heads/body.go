package heads

import (
	"encoding/json"
	"io"
)

// DecodeJSON decodes the value in a body and reads the body to its end, as only that shows that the answer is whole.
func DecodeJSON(body io.Reader, v any) error {
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, body)
	return err
}
