package admission

// ordered is a binary heap that tells its elements their places.
type ordered[T any] struct {
	// rows holds the elements.
	rows []T
	// before tells which of two elements goes first.
	before func(a, b T) bool
	// moved tells an element its place, or -1 when it is taken out.
	moved func(row T, place int)
}

// push adds an element.
func (o *ordered[T]) push(row T) {
	o.rows = append(o.rows, row)
	o.moved(row, len(o.rows)-1)
	o.up(len(o.rows) - 1)
}

// remove takes out the element at a place.
func (o *ordered[T]) remove(place int) T {
	last := len(o.rows) - 1
	if place != last {
		o.swap(place, last)
	}
	row := o.rows[last]
	var none T
	o.rows[last] = none
	o.rows = o.rows[:last]
	if place != last {
		o.fix(place)
	}
	o.moved(row, -1)
	return row
}

// fix restores the order after the element at a place has changed.
func (o *ordered[T]) fix(place int) {
	if !o.down(place) {
		o.up(place)
	}
}

// up moves an element towards the front.
func (o *ordered[T]) up(place int) {
	for place > 0 {
		parent := (place - 1) / 2
		if !o.before(o.rows[place], o.rows[parent]) {
			return
		}
		o.swap(place, parent)
		place = parent
	}
}

// down moves an element towards the back and tells whether it moved.
func (o *ordered[T]) down(place int) bool {
	start := place
	for {
		child := 2*place + 1
		if child >= len(o.rows) {
			break
		}
		if child+1 < len(o.rows) && o.before(o.rows[child+1], o.rows[child]) {
			child++
		}
		if !o.before(o.rows[child], o.rows[place]) {
			break
		}
		o.swap(place, child)
		place = child
	}
	return place > start
}

// swap exchanges two elements.
func (o *ordered[T]) swap(i, j int) {
	o.rows[i], o.rows[j] = o.rows[j], o.rows[i]
	o.moved(o.rows[i], i)
	o.moved(o.rows[j], j)
}
