Log and count the published items that instances pass on (LB0516, LB0517).
