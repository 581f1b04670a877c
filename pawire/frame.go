package pawire

// frameCounter follows the frames of a drpc connection: a control byte, the numbers of stream and message, the length, each as a varint,
// and the data. The zero value is at the beginning of a frame.
type frameCounter struct {
	// held is how many bytes have arrived of the message that has no last frame yet.
	held int

	field  frameField
	last   bool
	length uint64
	shift  uint
}

// frameField is a part of a frame.
type frameField int

const (
	controlField frameField = iota
	streamField
	messageField
	lengthField
	dataField
)

const (
	// lastFrame is the bit of the control byte that marks the last frame of a message.
	lastFrame = 1
	// moreBit marks a byte of a varint that is not the last one, valueBits is how many of its bits are of the value.
	moreBit   = 0x80
	valueBits = 7
)

// count follows the next bytes.
func (f *frameCounter) count(b []byte) {
	for len(b) > 0 {
		n := 1
		if f.field == dataField {
			n = int(min(uint64(len(b)), f.length))
			f.length -= uint64(n)
		} else {
			f.header(b[0])
		}
		f.held += n
		b = b[n:]
		if f.field == dataField && f.length == 0 {
			f.endFrame()
		}
	}
}

// header follows one byte of the fields before the data.
func (f *frameCounter) header(b byte) {
	if f.field == controlField {
		f.last, f.field, f.length, f.shift = b&lastFrame != 0, streamField, 0, 0
		return
	}
	if f.field == lengthField {
		f.length |= uint64(b&^moreBit) << f.shift
		f.shift += valueBits
	}
	if b&moreBit == 0 {
		f.field++
	}
}

func (f *frameCounter) endFrame() {
	f.field = controlField
	if f.last {
		f.held = 0
	}
}
