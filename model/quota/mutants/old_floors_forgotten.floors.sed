# What gateways may still go by of older files is not counted.
/doubtful = Larger(doubtful, of(/d
