#include "rattanctl/ctl.h"

int
main(int argc, char **argv)
{
    return RsCtl_Main(argc, argv, stdout, stderr);
}
