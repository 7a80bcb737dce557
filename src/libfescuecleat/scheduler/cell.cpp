#include "scheduler/cell.h"

namespace fescuecleat {

const char* cellLevelName(CellLevel level)
{
    switch (level) {
    case CellLevel::Accelerator:
        return "accelerator";
    case CellLevel::Pair:
        return "pair";
    case CellLevel::Quad:
        return "quad";
    case CellLevel::Worker:
        return "worker";
    case CellLevel::Rack:
        return "rack";
    }
    return "accelerator";
}

}
