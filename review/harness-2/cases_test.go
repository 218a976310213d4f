package cases

var cases = map[string]func(){
	"late-refusal": lateRefusal,
	"late-order":   lateOrder,
	"late-failure": lateFailure,
}
