import { rules } from '@thornsail/simulation';

rules.test('budget,hold,uncut'.split(','), [1, 2, 3]);
